import { expect } from "earl";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { replay } from "./session.js";

/** Fixtures lie with the sources; this file runs from the build's folder. */
const folder = fileURLToPath(new URL("../../../test/sessions/fixtures/", import.meta.url));
/** Golden files are renewed only when this is set. */
const isRenewing = process.env.RENEW_GOLDEN_FILES === "yes";

describe("golden sessions", () => {
    for (const name of readdirSync(folder)) {
        it(name, () => {
            const file = join(folder, name);
            const text = readFileSync(file, "utf8");
            const replayed = replay(text);
            if (isRenewing) {
                writeFileSync(file, replayed);
                return;
            }
            expect(replayed).toEqual(text);
        });
    }
});
