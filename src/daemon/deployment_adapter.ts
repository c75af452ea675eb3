/**
 * What a deployment's own protocols have to provide. Implementations translate
 * names and formats and decide nothing.
 */
import type { RequestListener } from "node:http";
import type { ResultAsync } from "neverthrow";
import type { OperatorService } from "../control/operator_service.ts";
import type { SystemError } from "../core/errors.ts";
import type { ForwardingProtocol } from "../forwarding/forwarding_protocol.ts";
import type { ListenAddress } from "../core/listen_on.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";

export interface DeploymentAdapter {
  createForwardingProtocol(): ForwardingProtocol;
  createOperatorApi(operators: OperatorService): RequestListener;
  readUpstreamList(
    address: ListenAddress,
  ): ResultAsync<readonly ListedUpstream[], SystemError>;
}
