/** Takes every job in. */
import type { AdmissionPolicy, AdmissionVerdict } from "./types.js";

/** See the module's comment. */
export class AdmitAll implements AdmissionPolicy {
    /** See {@link AdmissionPolicy.judge}. */
    judge(): AdmissionVerdict {
        return { kind: "admitted" };
    }
}
