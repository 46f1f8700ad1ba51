/**
 * Bundles the entry program into one file below target/ and stores V8's compiled code beside it.
 *
 * Loading separate modules and compiling them would take most of the program's start time on a small VM.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";

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
    legalComments: "none",
    logLevel: "warning",
    alias: Object.fromEntries(
        ["core", "cell", "runtime", "entry"].map(name => [`@pebbledale/${name}`, packageEntryPoint(name)]),
    ),
});
copyFileSync("deploy/start.cjs", "target/pebbledale-entry.cjs");
// The flags must equal those of deploy/system.toml: V8 rejects cached code that was compiled with other flags.
execFileSync(
    process.execPath,
    ["--max-old-space-size=160", "target/pebbledale-entry.cjs", "--compile-only"],
    { stdio: "ignore" },
);
