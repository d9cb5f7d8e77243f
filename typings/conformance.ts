import type * as code from '../src/index';
import type * as declared from './lavenderspar';

/** Type tests: this file compiles only if the typings match the exports of the code. */

type Same<T, U> =
  (<X>() => X extends T ? 1 : 2) extends <X>() => X extends U ? 1 : 2 ? true : false;

/** Declared types may omit private members only, so classes are compared in one direction. */
type Serves<TCode, TDeclared> = TCode extends TDeclared ? true : false;

function assertType<T extends true>(): T | undefined {
  return undefined;
}

/** Fails if an export is missing or additional. */
assertType<Same<keyof typeof code, keyof typeof declared>>();
assertType<Serves<typeof code, typeof declared>>();

assertType<Same<keyof code.Settings, keyof declared.Settings>>();
assertType<Serves<code.Settings, declared.Settings>>();
assertType<Same<code.ISettingsProblem, declared.ISettingsProblem>>();
assertType<Same<code.IServiceRow, declared.IServiceRow>>();
assertType<Same<code.IServerRow, declared.IServerRow>>();
assertType<Same<code.ITable, declared.ITable>>();
assertType<Same<code.ITableProblem, declared.ITableProblem>>();
assertType<Same<code.ILoadReport, declared.ILoadReport>>();
assertType<Same<code.IServerState, declared.IServerState>>();
assertType<Same<code.Phase, declared.Phase>>();
assertType<Same<code.IClock, declared.IClock>>();
assertType<Same<code.IRandom, declared.IRandom>>();
assertType<Same<code.IDisposable, declared.IDisposable>>();
assertType<Same<code.Event<string>, declared.Event<string>>>();
assertType<Same<code.Result<string, number>, declared.Result<string, number>>>();
assertType<Same<keyof code.IDaemonOptions, keyof declared.IDaemonOptions>>();
assertType<Same<keyof code.Daemon, keyof declared.Daemon>>();
assertType<Same<keyof code.SelectionPolicy, keyof declared.SelectionPolicy>>();
