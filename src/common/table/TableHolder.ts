import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as tableParser from './TableParser';
import type * as tableTypes from './Types';

/**
 * Holds the table in force. A table replaces it only with a higher version, so that the table
 * in force never goes back to an older one.
 */
export class TableHolder {
  private readonly acceptedEmitter = new emitter.Emitter<tableTypes.ITable>();

  private tableInForce: tableTypes.ITable | undefined;

  /** Fires with each table that comes into force. */
  public readonly onAccepted: types.Event<tableTypes.ITable> = this.acceptedEmitter.event;

  /** The table in force, or undefined before the first one. */
  public get current(): tableTypes.ITable | undefined {
    return this.tableInForce;
  }

  /** Offers published text, and puts it in force if it is valid and newer. */
  public offer(text: string): tableTypes.TableOffer {
    if (text === this.tableInForce?.text) return { kind: 'unchanged' };
    return this.offerParsed(tableParser.TableParser.parse(text));
  }

  /** Offers the result of a parse that ran in slices. Other tables may have come first. */
  public offerParsed(
    parsed: types.Result<tableTypes.ITable, readonly tableTypes.ITableProblem[]>,
  ): tableTypes.TableOffer {
    if (!parsed.ok) return { kind: 'invalid', problems: parsed.error };
    const table = parsed.value;
    const inForce = this.tableInForce;
    if (table.hash === inForce?.hash && table.version === inForce.version) {
      return { kind: 'unchanged' };
    }
    if (inForce !== undefined && table.version < inForce.version) {
      const versions = { offeredVersion: table.version, versionInForce: inForce.version };
      return { kind: 'older', ...versions };
    }
    if (inForce !== undefined && table.version === inForce.version) {
      return { kind: 'conflict', version: table.version, offeredHash: table.hash };
    }
    this.tableInForce = table;
    this.acceptedEmitter.fire(table);
    return { kind: 'accepted', table };
  }
}
