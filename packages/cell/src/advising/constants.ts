/** Tuning constants of questions to the advice service. Times are in milliseconds. */
/** Lower bound of workers in a first question, as the capacity of a few may be gone by the time of the answer. */
export const minAdviceWorkers = 24;
/** Factor by which the expected free capacity of the permitted workers must exceed the demand. */
export const capacityMargin = 1.5;
/**
 * The same for a gang, whose members need their resources all at once. Some are gone by the time of the answer, and a second question takes
 * most of a second.
 */
export const gangCapacityMargin = 3;
/** A question also covers enough workers once the permitted ones, if empty, are expected to hold the step this many times over. */
export const emptyCapacityMargin = 2.5;
/** Share of workers assumed to be permitted before a queue's first answer. */
export const initialPermittedShare = 0.3;
/** Lower bound of the learned share, so that questions of a queue with poor answers stay bounded. */
export const minPermittedShare = 0.1;
/** Weight of one answer in the moving average of its queue's share. */
export const shareWeight = 0.2;
/** Minimum interval between questions about a step that could not be placed. */
export const adviceInterval = 40;
/** Tickets are requested this much earlier than the expected duration of the question requires. */
export const ticketLead = 80;
/**
 * When the first ticket of a gang has to be renewed, so are all that are valid for less than this share of their lifetime. Renewed one by
 * one, they would hardly ever be valid together, and other steps would wait behind the questions.
 */
export const renewalShare = 0.5;
