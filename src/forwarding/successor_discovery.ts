/**
 * Finds engines that restarted at their address under another id. After a crash
 * the list of upstreams names the former ids for some seconds, longer in a
 * failure domain that is cut off, although the engines serve again.
 *
 * An address may also pass to an upstream of another service, which must not
 * get the requests of this one. A refusal of a misdirected request states only
 * an id, so the upstream is asked for its report: an upstream that reports
 * models belongs to the only service with engines. Without such a proof the
 * successor is used only once the list names it.
 */
import { Buffer } from "node:buffer";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { UpstreamId } from "../core/types.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type {
  EngineReport,
  ForwardingProtocol,
} from "./forwarding_protocol.ts";
import { callUpstream } from "./upstream_call.ts";
import type { UpstreamConnections } from "./upstream_connections.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";

export interface SuccessorDiscovery {
  /** Called when an upstream refused a request that named another id. */
  handleMisdirected(
    intended: ListedUpstream,
    responderId: UpstreamId | undefined,
  ): void;
}

export interface SuccessorDiscoveryOptions {
  readonly logger: Logger;
  readonly protocol: ForwardingProtocol;
  readonly connections: UpstreamConnections;
  readonly directory: UpstreamDirectory;
  /** The only service of the configuration in force that has engines. */
  getSoleEngineService(): string | undefined;
}

export interface SuccessorEvidence {
  readonly intended: Pick<ListedUpstream, "upstreamId" | "service">;
  readonly responderId: UpstreamId | undefined;
  readonly soleEngineService: string | undefined;
  /** Versions of the service that are listed at the moment. */
  readonly versionCount: number;
}

/** Longer than a round trip between failure domains, also under load. */
const reportTimeoutMs = 250;
const maxIdChars = 200;

/**
 * Decides whether the responder may be a successor. While several versions of
 * the service are listed, nothing proves which of them the responder has.
 */
export function mayBeSuccessor(
  { intended, responderId, soleEngineService, versionCount }: SuccessorEvidence,
): boolean {
  return responderId !== undefined && responderId !== "" &&
    responderId.length <= maxIdChars &&
    responderId !== intended.upstreamId &&
    intended.service === soleEngineService && versionCount === 1;
}

export function createSuccessorDiscovery(
  options: SuccessorDiscoveryOptions,
): SuccessorDiscovery {
  const { logger, protocol, connections, directory } = options;
  /** Ids whose reports are being read. */
  const pendingIds = new Set<UpstreamId>();
  return { handleMisdirected };

  function handleMisdirected(
    intended: ListedUpstream,
    responderId: UpstreamId | undefined,
  ): void {
    const isCandidate = mayBeSuccessor({
      intended,
      responderId,
      soleEngineService: options.getSoleEngineService(),
      versionCount: directory.countVersions(intended.service),
    });
    if (!isCandidate || pendingIds.has(responderId!)) return;
    if (directory.get(responderId!)) return;
    pendingIds.add(responderId!);
    readReport(intended, (report) => {
      pendingIds.delete(responderId!);
      const fields = {
        upstream: responderId,
        predecessor: intended.upstreamId,
      };
      if (!report?.servesModel || report.isLeaving) {
        logger.log(logEvents.successorNotConfirmed, fields);
        return;
      }
      directory.addSuccessor({
        predecessorId: intended.upstreamId,
        successorId: responderId!,
        isFoundHere: true,
      });
    });
  }

  function readReport(
    { host, port }: ListedUpstream,
    onReport: (report: EngineReport | undefined) => void,
  ): void {
    callUpstream(connections, {
      host,
      port,
      method: "GET",
      path: protocol.reportPath,
      headers: [],
      body: Buffer.alloc(0),
      timeoutMs: reportTimeoutMs,
    }, ({ status, body }) => {
      const report = status === 200 ? protocol.parseReport(body) : undefined;
      onReport(report?.unwrapOr(undefined));
    });
  }
}
