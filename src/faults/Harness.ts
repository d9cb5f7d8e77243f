import * as fs from 'node:fs/promises';

import * as build from './Build';
import * as faultFleet from './FaultFleet';
import type * as faultTypes from './Types';

/** Compiles the sources, starts fleets, and cleans up after the tests. */
export class Harness {
  private buildFolder = '';

  private readonly fleets: faultFleet.FaultFleet[] = [];

  /** Compiles the sources. Call it in `beforeAll`. */
  public async open(): Promise<void> {
    this.buildFolder = await build.build();
  }

  public async start(
    options: Omit<faultTypes.IFleetOptions, 'buildFolder'>,
  ): Promise<faultFleet.FaultFleet> {
    const fleet = await faultFleet.FaultFleet.start({ ...options, buildFolder: this.buildFolder });
    this.fleets.push(fleet);
    return fleet;
  }

  /** Closes the fleets of one test. Call it in `afterEach`. */
  public async closeFleets(): Promise<void> {
    await Promise.all(this.fleets.splice(0).map((fleet) => fleet.close()));
  }

  /** Removes the compiled files. Call it in `afterAll`. */
  public async close(): Promise<void> {
    await this.closeFleets();
    await fs.rm(this.buildFolder, { recursive: true, force: true });
  }
}

/** Returns a prompt service with idempotent requests. */
export function readsService(
  servers: number,
  cells: Partial<faultTypes.ITestService['cells']> = {},
  options: Partial<faultTypes.ITestService['options']> = {},
): faultTypes.ITestService {
  return {
    cells: { name: 'reads', class: 'prompt', idempotent: 'yes', deadline_ms: 1_000, ...cells },
    servers,
    options: { slots: 3, serviceMs: 3, ...options },
  };
}

/** Returns a prompt service with non-idempotent requests and no request keys. */
export function ordersService(
  servers: number,
  options: Partial<faultTypes.ITestService['options']> = {},
): faultTypes.ITestService {
  return {
    cells: {
      name: 'orders',
      class: 'prompt',
      idempotent: 'no',
      request_key: 'none',
      deadline_ms: 1_000,
    },
    servers,
    options: { slots: 3, serviceMs: 3, ...options },
  };
}
