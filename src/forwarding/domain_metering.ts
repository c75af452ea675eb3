/**
 * Decorates the directory and the connections of an entry instance so that the
 * demand, the attempts and the bytes of each failure domain are recorded,
 * whichever forwarder causes them.
 */
import type { DomainTraffic } from "./domain_traffic.ts";
import type {
  ExchangeHandlers,
  UpstreamConnections,
} from "./upstream_connections.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";

export interface MeteredUpstreams {
  readonly directory: UpstreamDirectory;
  readonly connections: UpstreamConnections;
}

export function meterDomainTraffic(
  { directory, connections }: MeteredUpstreams,
  traffic: Pick<
    DomainTraffic,
    "recordAttempt" | "recordPromptTokens" | "recordBytes"
  >,
): MeteredUpstreams {
  let byAddress = new Map<string, ListedUpstream>();
  return {
    directory: {
      ...directory,
      update: (listed) => {
        directory.update(listed);
        byAddress = new Map(
          listed.map((info) => [getAddress(info.host, info.port), info]),
        );
      },
      trackRequest: (upstreamId) => {
        const load = directory.trackRequest(upstreamId);
        const { service, domainId } = load.upstream.info;
        traffic.recordAttempt(service, domainId);
        return {
          ...load,
          addUncachedTokens: (tokens) => {
            traffic.recordPromptTokens(service, tokens);
            load.addUncachedTokens(tokens);
          },
        };
      },
    },
    connections: {
      ...connections,
      send: (request, handlers) => {
        const info = byAddress.get(getAddress(request.host, request.port));
        if (!info) return connections.send(request, handlers);
        const { service, domainId } = info;
        let bytes = request.body.length;
        const exchange = connections.send(request, {
          ...countReceived(handlers),
          onEnd: () => {
            record();
            handlers.onEnd();
          },
          onFailure: (failure) => {
            record();
            handlers.onFailure(failure);
          },
        });
        return {
          ...exchange,
          cancel: () => {
            record();
            exchange.cancel();
          },
        };

        function countReceived(
          { onHead, onData }: ExchangeHandlers,
        ): Pick<ExchangeHandlers, "onHead" | "onData"> {
          return {
            onHead,
            onData: (chunk) => {
              bytes += chunk.length;
              onData(chunk);
            },
          };
        }

        /** Records what was not recorded yet. */
        function record(): void {
          if (bytes > 0) traffic.recordBytes(service, domainId, bytes);
          bytes = 0;
        }
      },
    },
  };
}

function getAddress(host: string, port: number): string {
  return `${host}:${port}`;
}
