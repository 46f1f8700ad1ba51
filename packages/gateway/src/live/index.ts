/** Forwarding of live requests: slots, the retry budget, and connections to instances. */
export * from "./forwarder.js";
export * from "./retry-budget.js";
export * from "./slot-broker.js";
