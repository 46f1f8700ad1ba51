/** The operators' keys as the owner applies them and exchanges them with the VMs. */
import type { CellConfiguration, CellScheduler, HallClosures } from "@pebbledale/cell";
import { configurationFetchDelay } from "../configuration/index.js";
import type { Channel, OwnerMessage, VmMessage } from "../protocol/index.js";
import type { OwnerSessionOptions } from "./types.js";
import type { VmLink } from "./vm-link.js";

/** What {@link OperatorsKeys} depends on. */
export interface OperatorsKeysOptions {
    readonly session: Pick<
        OwnerSessionOptions,
        "clock" | "lost" | "configuration" | "onConfiguration" | "closures" | "onClosures" | "operatorsCopy"
    >;
    readonly cell: CellScheduler;
    /** The connected VMs. */
    readonly vms: ReadonlyMap<string, VmLink>;
    /** Called when something was applied to the cell. */
    readonly onChange: () => void;
}

/** A VM's message about the operators' keys. */
type KeysMessage = Extract<
    VmMessage,
    { kind: "configuration" | "configuration-version" | "want-configuration" | "closed-halls" | "copy-question"; }
>;

/** Applies the configuration and the closures of data halls to the cell, and keeps the VMs' knowledge and the owner's equal. */
export class OperatorsKeys {
    #configuration: CellConfiguration | undefined;
    #closures: HallClosures = { halls: [], revision: 0 };

    constructor(private readonly options: OperatorsKeysOptions) {}

    /** Applies a configuration if it is newer and announces it to the VMs. */
    configure(configuration: CellConfiguration): void {
        const { cell, onChange } = this.options;
        if (configuration.version <= (this.#configuration?.version ?? 0)) {
            return;
        }
        this.#configuration = configuration;
        cell.configure(configuration);
        this.#sendToAll({ kind: "configuration-version", version: configuration.version });
        onChange();
    }

    /** Starts nothing more in the data halls that are closed, and tells the VMs. */
    closeHalls(closures: HallClosures): void {
        const { cell, onChange } = this.options;
        this.#closures = closures;
        cell.setClosedHalls(closures);
        this.#sendToAll({ kind: "closed-halls", closures });
        onChange();
    }

    /** Applies what this VM knows. */
    refresh(): void {
        const configuration = this.options.session.configuration();
        if (configuration !== undefined) {
            this.configure(configuration);
        }
        const closures = this.options.session.closures();
        if (closures.halls.length > 0 || this.#closures.halls.length > 0) {
            this.closeHalls(closures);
        }
    }

    /** Tells a VM that has connected what the owner knows. */
    announceTo(channel: Channel<OwnerMessage, VmMessage>): void {
        if (this.#configuration !== undefined) {
            channel.send({ kind: "configuration-version", version: this.#configuration.version });
        }
        if (this.#closures.halls.length > 0) {
            channel.send({ kind: "closed-halls", closures: this.#closures });
        }
    }

    handle(link: VmLink, message: KeysMessage): void {
        const { onConfiguration, operatorsCopy } = this.options.session;
        switch (message.kind) {
            case "configuration":
                onConfiguration(message.configuration);
                break;
            case "configuration-version":
                void this.#requestNewerConfiguration(link, message.version);
                break;
            case "want-configuration":
                this.#sendConfiguration(link);
                break;
            case "closed-halls":
                this.#handleClosures(link, message.closures);
                break;
            case "copy-question": {
                const { question, since } = message;
                const copy = operatorsCopy(since);
                link.channel.send({ kind: "copy-answer", question, ...(copy === undefined ? {} : { copy }) });
                break;
            }
        }
    }

    #sendToAll(message: OwnerMessage): void {
        this.options.vms.forEach(vm => vm.channel.send(message));
    }

    /** Requests a newer configuration from the VM that has it, unless the store delivers it within the grace period. */
    async #requestNewerConfiguration(link: VmLink, version: number): Promise<void> {
        const { clock, lost } = this.options.session;
        await clock.sleep(configurationFetchDelay, lost.signal);
        if (version > (this.#configuration?.version ?? 0)) {
            link.channel.send({ kind: "want-configuration" });
        }
    }

    #sendConfiguration(link: VmLink): void {
        if (this.#configuration !== undefined) {
            link.channel.send({ kind: "configuration", configuration: this.#configuration });
        }
    }

    #handleClosures(link: VmLink, closures: HallClosures): void {
        const newer = this.options.session.onClosures(closures);
        if (newer !== undefined) {
            link.channel.send({ kind: "closed-halls", closures: newer });
        }
    }
}
