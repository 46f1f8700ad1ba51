/** Replaces Fastify's schema compilers in the bundle: its routes have no schemas. */
"use strict";
module.exports = () => {
    throw new Error("the bundled program has no schema compilers");
};
