/** How fast tasks that fill a worker may work. */
export * from "./pace-keeper.js";
