/** Benchmarks of placement, packing, live requests and fault situations. */
export * from "./decisions.js";
export * from "./figures.js";
export * from "./live.js";
export * from "./packing.js";
export * from "./situations.js";
