import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: { include: ['test/**/*.test.ts', 'packages/*/test/**/*.test.ts'], testTimeout: 60_000 },
});
