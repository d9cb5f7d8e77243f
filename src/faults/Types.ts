import type * as standinTypes from '../standin/Types';
import type * as tableText from '../standin/TableText';

/** A service of a test and its backend servers. */
export interface ITestService {
  readonly cells: tableText.IServiceCells;
  readonly servers: number;
  readonly options: standinTypes.IBackendOptions;
}

/** Options of a test fleet. */
export interface IFleetOptions {
  /** Folder of the compiled files. */
  readonly buildFolder: string;
  readonly daemons: number;
  readonly services: readonly ITestService[];
  readonly seed: number;
  readonly maxDaemons?: number;
  /** Additional settings of each daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}
