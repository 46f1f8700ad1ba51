#!/usr/bin/env node
/** `pebbledale`: the operators' command line. Commands import their implementation on demand. */
import { Builtins, Cli } from "clipanion";
import { BurnCommand } from "./commands/burn.js";
import { ExplainJobCommand } from "./commands/explain-job.js";
import { JobCommand } from "./commands/job.js";
import { SettingsAcceptCommand } from "./commands/settings-accept.js";
import { SettingsDiffCommand } from "./commands/settings-diff.js";
import { SettingsExplainCommand } from "./commands/settings-explain.js";
import { SettingsGetCommand } from "./commands/settings-get.js";
import { SettingsHistoryCommand } from "./commands/settings-history.js";
import { StatusCommand } from "./commands/status.js";
import { WorkersCommand } from "./commands/workers.js";

const version = "0.1.0";
const cli = new Cli({ binaryName: "pebbledale", binaryLabel: "pebbledale", binaryVersion: version });
[
    BurnCommand,
    ExplainJobCommand,
    JobCommand,
    SettingsAcceptCommand,
    SettingsDiffCommand,
    SettingsExplainCommand,
    SettingsGetCommand,
    SettingsHistoryCommand,
    StatusCommand,
    WorkersCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
].forEach(command => cli.register(command));
process.exit(await cli.run(process.argv.slice(2)));
