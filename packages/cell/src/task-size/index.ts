/** Room: what a task asks for and what a worker has. */

/** What one task takes of a worker, and what a worker has. */
export interface TaskSize {
    readonly processorThousandths: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}
