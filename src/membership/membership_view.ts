/** An instance's view of the other instances. */
import type { InstanceId, InstanceInfo } from "../core/types.ts";

export interface MembershipView {
  getSelf(): InstanceInfo;
  getInstance(instanceId: InstanceId): InstanceInfo | undefined;
  /** All listed instances, this one included. */
  listInstances(): readonly InstanceInfo[];
  /** Whether heartbeats from the instance arrive. */
  isReachable(instanceId: InstanceId): boolean;
}
