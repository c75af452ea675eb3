/**
 * Source of customer weights. The settings provide them today; a configuration
 * that changes while the instance runs implements the same interface.
 */
import type { CustomerId } from "../core/types.ts";

export interface CustomerLimits {
  /** Relative share of capacity; 1 for a customer without a weight. */
  getWeight(customerId: CustomerId): number;
}

export function createSettingsCustomerLimits(
  customers: readonly {
    readonly customerId: CustomerId;
    readonly weight: number;
  }[],
): CustomerLimits {
  const weights = new Map(
    customers.map(({ customerId, weight }) => [customerId, weight]),
  );
  return { getWeight: (customerId) => weights.get(customerId) ?? 1 };
}
