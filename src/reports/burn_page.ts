/**
 * Renders the burn report as one self-contained HTML page. Each row has a bar
 * per window; a bar beyond the line marks a burn rate that spends the error
 * budget too fast.
 */
import type { BurnRow, BurnWindow } from "./burn_report.ts";

const barWidthPx = 120;
const barHeightPx = 12;
/** Burn rates are drawn on a logarithmic scale up to this rate. */
const maxRate = 100;

const style = `body { font: 14px system-ui, sans-serif; margin: 2em }
table { border-collapse: collapse }
td, th { padding: 4px 10px; text-align: left; border-bottom: 1px solid #ddd }
.good { fill: #4a8f5a } .bad { fill: #c0392b } .line { stroke: #555 }`;

export function renderBurnPage(rows: readonly BurnRow[], now: Date): string {
  const title = `Service-level burn, ${now.toISOString()}`;
  const header = [
    "Service",
    "Route",
    "Objective",
    "Target",
    "5 min",
    "1 h",
    "6 h",
    "3 d",
    "Budget left",
  ].map((name) => `<th>${name}</th>`).join("");
  const body = rows.map((row) => `<tr>${renderCells(row)}</tr>`).join("\n");
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>${title}</title><style>${style}</style></head>
<body>
<h1>${title}</h1>
<p>A burn rate of 1 spends the error budget exactly over 30 days. The line in
each bar marks that rate; the scale is logarithmic.</p>
<table><thead><tr>${header}</tr></thead><tbody>
${body}
</tbody></table>
</body>
</html>
`;
}

function renderCells(row: BurnRow): string {
  const texts = [
    row.service,
    row.route,
    row.objective,
    `${(row.targetRatio * 100).toFixed(1)}%`,
  ].map((text) => `<td>${escapeHtml(text)}</td>`);
  const bars = row.windows.map((window) => `<td>${renderBar(window)}</td>`);
  const left = `<td>${(row.budgetLeftRatio * 100).toFixed(1)}%</td>`;
  return [...texts, ...bars, left].join("");
}

function renderBar(window: BurnWindow): string {
  if (window.totalCount === 0) return "no events";
  const lengthPx = getLengthPx(window.burnRate);
  const linePx = getLengthPx(1);
  const kind = window.burnRate > 1 ? "bad" : "good";
  return `<svg width="${barWidthPx}" height="${barHeightPx}">` +
    `<rect class="${kind}" width="${lengthPx}" height="${barHeightPx}"/>` +
    `<line class="line" x1="${linePx}" x2="${linePx}" y1="0" ` +
    `y2="${barHeightPx}"/></svg> ${window.burnRate.toFixed(2)}`;
}

function getLengthPx(rate: number): number {
  const scaled = Math.log1p(Math.min(rate, maxRate)) / Math.log1p(maxRate);
  return Math.round(scaled * barWidthPx);
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
