/** A change to the product that switches a mechanism off. A fault test must then fail. */
export interface IMutant {
  readonly name: string;
  /** Changed file, below `src`. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Test file that must fail, below `src/faults`. */
  readonly test: string;
}

export const MUTANTS: readonly IMutant[] = [];

/** Returns the mutant of that name, or undefined if no name is given. */
export function mutantCalled(name: string | undefined): IMutant | undefined {
  if (name === undefined || name === '') return undefined;
  const mutant = MUTANTS.find((candidate) => candidate.name === name);
  if (mutant === undefined) throw new Error(`no mutant called "${name}"`);
  return mutant;
}

/** Applies a mutant. Fails if the source no longer contains the text that it changes. */
export function mutate(source: string, mutant: IMutant): string {
  if (!source.includes(mutant.find)) {
    throw new Error(`mutant "${mutant.name}" does not apply to ${mutant.file}`);
  }
  return source.replace(mutant.find, mutant.replace);
}
