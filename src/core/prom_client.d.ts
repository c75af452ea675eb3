/** Modules of prom-client, which publishes types for its entry module only. */
declare module "prom-client/lib/counter.js" {
  const Counter: unknown;
  export default Counter;
}
declare module "prom-client/lib/gauge.js" {
  const Gauge: unknown;
  export default Gauge;
}
declare module "prom-client/lib/histogram.js" {
  const Histogram: unknown;
  export default Histogram;
}
declare module "prom-client/lib/registry.js" {
  const Registry: unknown;
  export default Registry;
}
