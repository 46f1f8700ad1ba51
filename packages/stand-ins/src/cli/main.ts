#!/usr/bin/env node
/**
 * Runs a stand-in as a process of its own. Usage: `platform AUDIT_FILE` or `workers bayanihan|retrouve COUNT AUDIT_FILE`.
 * Prints its address on the first line and exits when its standard input ends.
 */
import { AuditLog } from "../audit/index.js";
import { PlatformStandIn } from "../platform/index.js";
import { bayanihanShape, FleetStandIn, retrouveShape } from "../workers/index.js";

const [kind, ...rest] = process.argv.slice(2);

const start = async (): Promise<string> => {
    if (kind === "platform") {
        return new PlatformStandIn(new AuditLog(rest[0])).listen();
    }
    const shape = rest[0] === "retrouve" ? retrouveShape : bayanihanShape;
    return new FleetStandIn({ ...shape, count: Number(rest[1]) }, new AuditLog(rest[2])).listen();
};

process.stdout.write(`${await start()}\n`);
// Standard input closes when the parent process dies, so no stand-in is left behind.
process.stdin.on("end", () => process.exit(0)).resume();
