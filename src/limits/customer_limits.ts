/**
 * Sources of customer weights: a fixed list from the settings, or the
 * configuration in force, which tickets change while the instance runs.
 */
import { type ConfigurationView, lookUp } from "../control/configuration.ts";
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

export function createConfiguredCustomerLimits(
  view: ConfigurationView,
): CustomerLimits {
  return {
    getWeight: (customerId) =>
      lookUp(view.getConfiguration().limits, customerId)?.weight ?? 1,
  };
}
