/**
 * Runs the bundle beside this file, using V8's code cache if there is one. With `--compile-only`, writes the code cache.
 *
 * A cache that is missing or that V8 rejects only slows the start down.
 */
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");

const bundle = __filename.replace(/\.cjs$/, ".bundle.cjs");
const codeCache = `${bundle}.compiled`;
const isCompileOnly = process.argv[2] === "--compile-only";

const script = new Script(readFileSync(bundle, "latin1"), {
    filename: bundle,
    cachedData: !isCompileOnly && existsSync(codeCache) ? readFileSync(codeCache) : undefined,
});
if (script.cachedDataRejected) {
    process.stderr.write(`${codeCache}: V8 rejects it, so the start takes longer\n`);
}
if (isCompileOnly) {
    // The cache is created at exit, so that it holds all functions that loading the modules has compiled. Without a settings
    // file the program exits by itself.
    process.env["PEBBLEDALE_NODE_FILE"] = "";
    process.on("exit", () => {
        writeFileSync(codeCache, script.createCachedData());
        process.exitCode = 0;
    });
}
script.runInThisContext()(require, module, module.exports);
