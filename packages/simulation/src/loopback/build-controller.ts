/** Builds the program of a simulated controller from source. */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/** Resolves to the path of the built program. `source`: must be given by callers that are bundled themselves. */
export async function buildController(
  source = fileURLToPath(new URL('controller-main.ts', import.meta.url)),
): Promise<string> {
  const outfile = join(tmpdir(), `simulated-controller-${process.pid}.cjs`);
  await build({
    entryPoints: [source],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    logLevel: 'warning',
  });
  return outfile;
}
