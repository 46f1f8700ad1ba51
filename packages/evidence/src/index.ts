/** Programs that demonstrate, prove and measure the system; exports their test cell and the audit checks. */
export * from "./cell/index.js";
export * from "./checks/index.js";
