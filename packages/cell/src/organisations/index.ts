/** Organisations that share a cell: who a caller is, and what each may have at work. */
export * from "./key-ring.js";
export * from "./types.js";
export * from "./usage-book.js";
