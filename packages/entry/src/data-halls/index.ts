/** Data halls that the operators have closed. */
export * from "./hall-closure-watch.js";
