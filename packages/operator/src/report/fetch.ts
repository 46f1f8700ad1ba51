/** Collects the request counts of all gateways and computes the burn report. */
import { SystemClock } from "@pebbledale/core";
import { type BurnBuckets, type BurnRow, computeBurnRows, mergeBuckets } from "@pebbledale/runtime";
import { request } from "undici";
import type { OperatorValues } from "../cli/operator-command.js";
import { fetchSettings, parseSite, parseStoredTree } from "../settings/index.js";

/** Service-level burn over all gateways. Field names are part of the output with `--json`. */
export interface BurnReport {
    readonly at: string;
    /** Share of requests that must be answered completely and in time. */
    readonly objective: number;
    /** Number of gateways that were queried; the counts of those that did not answer are missing. */
    readonly asked: number;
    readonly answered: number;
    readonly rows: readonly BurnRow[];
    readonly buckets: BurnBuckets;
}

/** Timeout of a request to one gateway, in milliseconds. */
const answerTimeout = 2_000;
const statusOk = 200;

const fetchBuckets = async (address: string): Promise<BurnBuckets | undefined> => {
    try {
        const answer = await request(`http://${address}/burn`, {
            headersTimeout: answerTimeout,
            bodyTimeout: answerTimeout,
        });
        if (answer.statusCode !== statusOk) {
            await answer.body.dump();
            return undefined;
        }
        return await answer.body.json() as BurnBuckets;
    }
    catch {
        return undefined;
    }
};

/** Fetches the report. `sitePath`: `REGION/SITE` whose objective for live requests applies, or empty for none. */
export const fetchBurn = async (values: OperatorValues, sitePath: string): Promise<BurnReport> => {
    const site = parseSite(sitePath);
    const tree = parseStoredTree(await fetchSettings(values));
    const objective = tree.number("objective.share", { ...site, workloadClass: "live" });
    const addresses = values["peers.gateways"];
    const answers = (await Promise.all(addresses.map(fetchBuckets))).filter(answer => answer !== undefined);
    const buckets = mergeBuckets(answers);
    const now = new SystemClock().now();
    return {
        at: now.toISOString(),
        objective,
        asked: addresses.length,
        answered: answers.length,
        rows: computeBurnRows(buckets, now, objective),
        buckets,
    };
};
