/**
 * What one instance knows about the other instances.
 */
import type { InstanceId, InstanceInfo } from "../core/types.ts";

export interface MembershipView {
  getSelf(): InstanceInfo;
  getInstance(instanceId: InstanceId): InstanceInfo | undefined;
  /** All listed instances, this one included. */
  listInstances(): readonly InstanceInfo[];
  /** Whether heartbeats of the instance arrive. */
  isReachable(instanceId: InstanceId): boolean;
}
