/** Live requests: slots, limits of waiting and of retries, and sending to an instance. */
export * from "./forwarder.js";
export * from "./retry-budget.js";
export * from "./slot-broker.js";
