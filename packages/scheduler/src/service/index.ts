/** The service that a scheduler offers to gateways, peers and operators. */
export * from "./local-scheduler-service.js";
