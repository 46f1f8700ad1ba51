/** Support for the cell's tests. */
export * from "./builders.js";
export * from "./cell-driver.js";
export * from "./crashing-cell.js";
export * from "./fake-advice.js";
export * from "./fake-worker.js";
export * from "./fleet.js";
export * from "./simulated-cell.js";
