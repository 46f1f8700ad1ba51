#!/usr/bin/env node
/** Command line of `pebbledale-scheduler`. */
import { Builtins, Cli, Command, Option } from "clipanion";

const version = "0.1.0";

class RunCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs a scheduler",
        details: "Owns shards of workers: decides placements, leases slots, starts, watches and ends tasks.",
        examples: [["Check a settings file", "$0 --check scheduler.ini"], ["Run", "$0 scheduler.ini"]],
    });

    file = Option.String({ name: "FILE" });
    check = Option.Boolean("--check", false, { description: "Check the settings file and exit" });

    override async execute(): Promise<number> {
        const { runScheduler } = await import("../scheduler.js");
        return runScheduler(this.file, this.check, line => this.context.stderr.write(`${line}\n`));
    }
}

const cli = new Cli({
    binaryName: "pebbledale-scheduler",
    binaryLabel: "pebbledale scheduler",
    binaryVersion: version,
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
// Exits explicitly, because a connection that is still being opened would keep the process alive.
process.exit(await cli.run(process.argv.slice(2)));
