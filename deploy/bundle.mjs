/**
 * Bundles the entry program into one file below target/ and stores V8's compiled code beside it.
 *
 * Loading separate modules and compiling them would take most of the program's start time on a small VM.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, writeFileSync } from "node:fs";

const packageEntryPoint = name => `./packages/${name}/src/index.ts`;

await build({
    entryPoints: { "pebbledale-entry.bundle": "platform/src/program/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // Identifiers are not minified, so that stack traces stay readable.
    minifyWhitespace: true,
    minifySyntax: true,
    // So that the text can be read as Latin-1, of which V8 keeps one byte a character outside its heap.
    charset: "ascii",
    legalComments: "none",
    logLevel: "warning",
    alias: {
        ...Object.fromEntries(
            ["core", "cell", "runtime", "entry"].map(name => [`@pebbledale/${name}`, packageEntryPoint(name)]),
        ),
        // Text and modules that the program never uses would still take memory.
        "@fastify/ajv-compiler": "./deploy/unused-compiler.cjs",
        "@fastify/fast-json-stringify-compiler": "./deploy/unused-compiler.cjs",
        undici: "./deploy/undici-pool.cjs",
    },
});
// Wrapped here, as a start that puts the text together holds it in memory several times.
const bundle = "target/pebbledale-entry.bundle.cjs";
const text = readFileSync(bundle, "latin1").replace(/^#!.*/, "");
writeFileSync(bundle, `(function (require, module, exports) {${text}\n})`, "latin1");
copyFileSync("deploy/start.cjs", "target/pebbledale-entry.cjs");
// V8 rejects cached code that was compiled with other flags than those of the run.
const runFlags = readFileSync("deploy/system.toml", "utf8").match(/^run = "node (.*) target/m)[1].split(" ");
execFileSync(
    process.execPath,
    [...runFlags, "target/pebbledale-entry.cjs", "--compile-only"],
    { stdio: "ignore" },
);
