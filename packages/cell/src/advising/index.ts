/** What the advice service is asked, and through which VM. */
export * from "./advice-desk.js";
export * from "./advice-dispatcher.js";
