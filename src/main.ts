import { program } from './cli/program.js';

void program().parseAsync();
