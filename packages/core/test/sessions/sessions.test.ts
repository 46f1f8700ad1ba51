import { expect } from "earl";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { replay } from "./session.js";

/** Fixtures are in the source tree, while this file runs from the build output. */
const folder = fileURLToPath(new URL("../../../test/sessions/fixtures/", import.meta.url));
/** Rewrites the golden files instead of comparing with them. */
const isUpdating = process.env.RENEW_GOLDEN_FILES === "yes";

describe("golden sessions", () => {
    for (const name of readdirSync(folder)) {
        it(name, () => {
            const file = join(folder, name);
            const text = readFileSync(file, "utf8");
            const replayed = replay(text);
            if (isUpdating) {
                writeFileSync(file, replayed);
                return;
            }
            expect(replayed).toEqual(text);
        });
    }
});
