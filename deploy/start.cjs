/**
 * Starts the bundle beside this file from its compiled code, which `--compile-only` writes.
 *
 * Code that does not fit the runtime is compiled anew, so a missing or foreign file costs time and nothing else.
 */
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");

const bundle = __filename.replace(/\.cjs$/, ".bundle.cjs");
const compiled = `${bundle}.compiled`;
const isCompileOnly = process.argv[2] === "--compile-only";

const source = readFileSync(bundle, "utf8").replace(/^#!.*/, "");
const script = new Script(`(function (require, module, exports) {${source}\n})`, {
    filename: bundle,
    cachedData: !isCompileOnly && existsSync(compiled) ? readFileSync(compiled) : undefined,
});
if (isCompileOnly) {
    // Loading runs the start of every module; what that compiled is kept. Without settings the program ends by itself.
    process.env["PEBBLEDALE_NODE_FILE"] = "";
    process.on("exit", () => {
        writeFileSync(compiled, script.createCachedData());
        process.exitCode = 0;
    });
}
script.runInThisContext()(require, module, module.exports);
