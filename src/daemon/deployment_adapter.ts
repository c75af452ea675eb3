/**
 * Interface to the protocols of the platform that a deployment runs on.
 * Implementations translate names and formats, and make no decisions.
 */
import type { RequestListener } from "node:http";
import type { ResultAsync } from "neverthrow";
import type { BodyStore } from "../core/body_store.ts";
import type { OperatorService } from "../control/operator_service.ts";
import type { SystemError } from "../core/errors.ts";
import type { ForwardingProtocol } from "../forwarding/forwarding_protocol.ts";
import type { ListenAddress } from "../core/listen_on.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";

export interface DeploymentAdapter {
  createForwardingProtocol(): ForwardingProtocol;
  /** The store limits the bodies of all requests together. */
  createOperatorApi(
    operators: OperatorService,
    bodies: BodyStore,
  ): RequestListener;
  readUpstreamList(
    address: ListenAddress,
  ): ResultAsync<readonly ListedUpstream[], SystemError>;
}
