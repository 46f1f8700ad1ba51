#!/usr/bin/env node
/** Runs one stand-in as a process: `platform AUDIT` or `workers SHAPE COUNT AUDIT`. Prints its address, ends with its input. */
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
// The stand-in ends with the process that started it.
process.stdin.on("end", () => process.exit(0)).resume();
