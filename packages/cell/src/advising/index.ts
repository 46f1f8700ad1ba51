/** What the advice service is asked. */
export * from "./advice-desk.js";
