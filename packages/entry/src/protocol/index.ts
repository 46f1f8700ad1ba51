/** Protocol between the owner and the entry VMs. */
export * from "./bulk-transfer.js";
export * from "./channel.js";
export * from "./messages.js";
export * from "./payload-references.js";
export * from "./socket-channel.js";
