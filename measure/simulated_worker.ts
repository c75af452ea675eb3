/**
 * Simulated application worker, started as a separate process. It records the
 * idempotency key of every executed booking.
 */
import { createServer } from "node:http";
import process from "node:process";

interface WorkerOptions {
  readonly workMs: number;
}

const options = JSON.parse(process.argv[2]!) as WorkerOptions;
const executions: string[] = [];

const server = createServer((request, response) => {
  void (async () => {
    let body = "";
    for await (const chunk of request) body += chunk;
    const url = new URL(request.url ?? "/", "http://worker");
    if (url.pathname === "/executions") {
      response.end(JSON.stringify(executions));
      return;
    }
    if (request.method === "POST") {
      executions.push(String(request.headers["idempotency-key"]));
    }
    await new Promise((resolve) => setTimeout(resolve, options.workMs));
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ path: url.pathname, echo: body }));
  })();
});
server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  const port = typeof address === "object" ? address?.port : 0;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
