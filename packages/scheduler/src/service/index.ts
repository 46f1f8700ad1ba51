/** What the scheduler answers to gateways, peers and operators. */
export * from "./local-scheduler-service.js";
