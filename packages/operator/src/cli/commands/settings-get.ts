import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import * as typanion from "typanion";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale settings get`: prints the settings tree in force, or that of an earlier revision. */
export class SettingsGetCommand extends OperatorCommand {
    static override paths = [["settings", "get"]];
    static override usage = Command.Usage({
        category: "Settings",
        description: "Print the tree in force, or an earlier one",
    });

    revision = Option.String("--revision", { description: "An earlier revision", validator: typanion.isNumber() });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchSettings } = await import("../../settings/index.js");
        const stored = await fetchSettings(values, this.revision);
        this.print(
            this.json
                ? JSON.stringify(stored)
                : `; revision ${stored.revision}, ${stored.author}, ${stored.acceptedAt}\n${stored.text}`,
        );
        return ExitCode.Done;
    }
}
