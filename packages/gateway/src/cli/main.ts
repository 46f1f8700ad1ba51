#!/usr/bin/env node
/** Command line of `pebbledale-gateway`. */
import { Builtins, Cli, Command, Option } from "clipanion";

const version = "0.1.0";

class RunCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs a gateway",
        details: "Checks, names and routes each request of a caller, and answers it whole.",
        examples: [["Check a settings file", "$0 --check gateway.ini"], ["Run", "$0 gateway.ini"]],
    });

    file = Option.String({ name: "FILE" });
    check = Option.Boolean("--check", false, { description: "Check the settings file and exit" });

    override async execute(): Promise<number> {
        const { runGateway } = await import("../gateway.js");
        return runGateway(this.file, this.check, line => this.context.stderr.write(`${line}\n`));
    }
}

const cli = new Cli({ binaryName: "pebbledale-gateway", binaryLabel: "pebbledale gateway", binaryVersion: version });
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
// Exits explicitly, because a connection that is still being opened would keep the process alive.
process.exit(await cli.run(process.argv.slice(2)));
