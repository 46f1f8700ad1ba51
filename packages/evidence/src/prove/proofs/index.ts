/** The list of proofs. */
import type { Proof } from "../types.js";
import { atMostOnceProof } from "./at-most-once.js";
import { capacityProof } from "./capacity.js";
import { exclusiveExecutionProof } from "./exclusive-execution.js";
import { leavingWorkerProof } from "./leaving-worker.js";
import { notRunProof } from "./not-run.js";
import { plannedStopProof } from "./planned-stop.js";
import { responseIntegrityProof } from "./response-integrity.js";
import { settingsProof } from "./settings.js";

/** All proofs, ordered by the number of the guarantee. */
export const proofs: readonly Proof[] = [
    capacityProof,
    exclusiveExecutionProof,
    responseIntegrityProof,
    notRunProof,
    atMostOnceProof,
    leavingWorkerProof,
    plannedStopProof,
    settingsProof,
];
