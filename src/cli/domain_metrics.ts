/**
 * Reads from an instance's metrics, in the Prometheus text format, which share
 * of each service's attempts leaves the failure domain, why, and the bytes.
 */
import { err, ok, type Result } from "neverthrow";

export interface DomainRow {
  readonly domainId: string;
  readonly isHome: boolean;
  readonly attemptCount: number;
  /** Share of the service's attempts; null without attempts. */
  readonly share: number | null;
  /** Attempts by the state of the choice when they were made. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Bytes to and from the domain; null for home, whose are not counted. */
  readonly bytes: number | null;
}

export interface ServiceDomains {
  readonly service: string;
  readonly attemptCount: number;
  /** Null without attempts: they are counted only for services under load. */
  readonly leavingShare: number | null;
  readonly leavingBytes: number;
  readonly domains: readonly DomainRow[];
}

export interface DomainView {
  readonly homeId: string;
  readonly services: readonly ServiceDomains[];
}

interface Sample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const attemptsName = "apricotyoke_domain_attempts_total";
const bytesName = "apricotyoke_domain_bytes_total";
const infoName = "apricotyoke_instance_info";

/** `homeId` is needed for instances of builds that do not state their domain. */
export function readDomainView(
  text: string,
  homeId: string | undefined,
): Result<DomainView, string> {
  const families = readFamilies(text);
  if (!new RegExp(`^# TYPE ${attemptsName} `, "m").test(text)) {
    return err(
      `no metric ${attemptsName}; is this the metrics address of an entry ` +
        "instance?",
    );
  }
  const home = homeId ?? families.get(infoName)?.[0]?.labels.domain;
  if (home === undefined) {
    return err("the instance does not state its failure domain; use --domain");
  }
  const attempts = families.get(attemptsName) ?? [];
  const bytes = families.get(bytesName) ?? [];
  const names = new Set(
    [...attempts, ...bytes].map(({ labels }) => labels.service ?? ""),
  );
  return ok({
    homeId: home,
    services: [...names].sort().map((service) =>
      summarize(service, home, {
        attempts: attempts.filter(({ labels }) => labels.service === service),
        bytes: bytes.filter(({ labels }) => labels.service === service),
      })
    ),
  });
}

function summarize(
  service: string,
  homeId: string,
  { attempts, bytes }: {
    readonly attempts: readonly Sample[];
    readonly bytes: readonly Sample[];
  },
): ServiceDomains {
  const attemptCount = sum(attempts);
  const ids = new Set(
    [...attempts, ...bytes].map(({ labels }) => labels.domain ?? ""),
  );
  const domains = [...ids].sort().map((domainId): DomainRow => {
    const own = attempts.filter(({ labels }) => labels.domain === domainId);
    return {
      domainId,
      isHome: domainId === homeId,
      attemptCount: sum(own),
      share: attemptCount > 0 ? sum(own) / attemptCount : null,
      reasons: Object.fromEntries(
        own.filter(({ value }) => value > 0)
          .map(({ labels, value }) => [labels.reason ?? "", value]),
      ),
      bytes: domainId === homeId
        ? null
        : sum(bytes.filter(({ labels }) => labels.domain === domainId)),
    };
  });
  const left = domains.filter(({ isHome }) => !isHome);
  const leftCount = left.reduce((total, row) => total + row.attemptCount, 0);
  return {
    service,
    attemptCount,
    leavingShare: attemptCount > 0 ? leftCount / attemptCount : null,
    leavingBytes: left.reduce((total, row) => total + (row.bytes ?? 0), 0),
    domains,
  };
}

export function formatDomainRows({ services }: DomainView): string[][] {
  return services.flatMap((
    { service, attemptCount, leavingShare, ...rest },
  ) => [
    [
      service,
      "(all that left)",
      formatShare(leavingShare),
      String(
        leavingShare === null ? 0 : Math.round(leavingShare * attemptCount),
      ),
      String(rest.leavingBytes),
      "",
    ],
    ...rest.domains.map((row) => [
      service,
      row.domainId + (row.isHome ? " (own)" : ""),
      formatShare(row.share),
      String(row.attemptCount),
      row.bytes === null ? "-" : String(row.bytes),
      Object.entries(row.reasons)
        .sort(([, left], [, right]) => right - left)
        .map(([reason, count]) => `${reason} ${count}`).join(", "),
    ]),
  ]);
}

function formatShare(share: number | null): string {
  return share === null ? "-" : `${(share * 100).toFixed(1)}%`;
}

function sum(samples: readonly Sample[]): number {
  return samples.reduce((total, { value }) => total + value, 0);
}

function readFamilies(text: string): Map<string, Sample[]> {
  const families = new Map<string, Sample[]>();
  for (const line of text.split("\n")) {
    const [, name, labelText = "", valueText] =
      /^([A-Za-z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)/.exec(line) ?? [];
    const value = Number(valueText);
    if (name === undefined || !Number.isFinite(value)) continue;
    const samples = families.get(name) ?? [];
    families.set(name, samples);
    samples.push({ labels: readLabels(labelText), value });
  }
  return families;
}

function readLabels(text: string): Record<string, string> {
  const pairs = text.matchAll(/([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"/g);
  return Object.fromEntries(
    [...pairs].map(([, name, value]) => [
      name!,
      value!.replace(/\\(.)/g, (_, char) => char === "n" ? "\n" : char),
    ]),
  );
}
