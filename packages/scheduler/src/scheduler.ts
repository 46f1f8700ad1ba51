/** Runs a scheduler process from its settings file until SIGTERM or SIGINT. */
import { logEvents, processId, type StoredSettings, SystemClock, SystemRandom } from "@pebbledale/core";
import {
    allShards,
    createAbortController,
    createAdministrationServer,
    createStopSignal,
    type EventLogger,
    HttpPlatformStore,
    HttpVmList,
    isAddressInUse,
    listenAt,
    Metrics,
    type PrintLine,
    type ProgramValues,
    runFromFile,
    SchedulerClient,
    schedulerSchema,
    serveProtocol,
    SettingsWatch,
    waitForAbort,
} from "@pebbledale/runtime";
import { ShardCandidate } from "./ownership/index.js";
import { LocalSchedulerService } from "./service/index.js";

type Values = ProgramValues<typeof schedulerSchema>;

/** Timeout of asking one peer for its settings, in milliseconds. */
const peerQueryTimeout = 500;

/**
 * Runs a scheduler, or only validates its settings file if `checkOnly` is set. Resolves to the process exit code;
 * `print` writes validation errors for the operator.
 */
export const runScheduler = (file: string, checkOnly: boolean, print: PrintLine): Promise<number> =>
    runFromFile({ name: "pebbledale-scheduler", schema: schedulerSchema, serve }, file, checkOnly, print);

const serve = async (
    values: Values,
    logger: EventLogger,
    print: PrintLine,
): Promise<void> => {
    const stop = createStopSignal();
    const background = createAbortController();
    const clock = new SystemClock();
    const random = new SystemRandom();
    const metrics = new Metrics();
    const store = new HttpPlatformStore(values["platform.address"], values["platform.timeout"], metrics);
    const vmList = new HttpVmList(values["platform.vm_list"], values["platform.timeout"]);
    const peers = values["peers.schedulers"].filter(address => address !== values["listen.peers"])
        .map(address => new SchedulerClient(address));
    const sharedSettings = new SettingsWatch({
        store,
        clock,
        logger,
        signal: background.signal,
        fetchPeerSettings: () => queryPeers(peers),
    });
    const owner = processId(values["process.name"]);
    const candidates = allShards(values["cell.shards"]).map(shard =>
        new ShardCandidate({
            values,
            shard,
            owner,
            store,
            vmList,
            clock,
            random,
            logger,
            sharedSettings,
            metrics,
            countOwned,
        })
    );
    function countOwned(): number {
        return candidates.filter(candidate => candidate.owned !== undefined).length;
    }
    const service = new LocalSchedulerService(values, sharedSettings, candidates);
    const server = createAdministrationServer({
        metrics,
        unreadyReason: () => stop.aborted ? "stopping" : sharedSettings.revision === 0 ? "no settings yet" : undefined,
    });
    metrics.gauge("pebbledale_shards_owned", "Shards that this scheduler owns", countOwned);
    metrics.gauge("pebbledale_settings_revision", "Revision of the settings in force", () => sharedSettings.revision);
    const protocol = serveProtocol(server, service);
    await listenAt(server, values["listen.peers"]).catch(cause => {
        if (isAddressInUse(cause)) {
            print(`${values["listen.peers"]} is in use: does another process run with the same settings?`);
        }
        throw cause;
    });
    logger.log(logEvents.processStarted, { address: values["listen.peers"] });
    const followingSettings = sharedSettings.run();
    await Promise.race([sharedSettings.ready, waitForAbort(stop)]);
    const campaigns = candidates.map(candidate => candidate.run(stop));
    await waitForAbort(stop);
    logger.log(logEvents.processStopping);
    await Promise.race([Promise.all(campaigns), clock.sleep(values["process.stop_within"])]);
    background.abort();
    await followingSettings;
    protocol.close();
    await server.close();
    await Promise.all([store.close(), vmList.close(), ...peers.map(peer => peer.close())]);
};

const queryPeers = async (peers: readonly SchedulerClient[]): Promise<StoredSettings[]> => {
    const answers = await Promise.allSettled(
        peers.map(peer =>
            peer.call(peerQueryTimeout, (calls, signal) => calls.currentSettings.query(undefined, { signal }))
        ),
    );
    return answers.flatMap(answer => answer.status === "fulfilled" && answer.value !== undefined ? [answer.value] : []);
};
