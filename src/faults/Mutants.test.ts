import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as mutants from './Mutants';

// Guards against a mutant that changes nothing, because the line that it replaces was changed.
test.each(mutants.MUTANTS)('the line that "$name" replaces exists once', async (mutant) => {
  const text = await fs.readFile(path.join(__dirname, '..', mutant.file), 'utf8');
  expect(text.split(mutant.find)).toHaveLength(2);
});

test.each(mutants.MUTANTS)('the test that finds "$name" exists', async (mutant) => {
  await expect(fs.access(path.join(__dirname, mutant.test))).resolves.toBeUndefined();
});
