/**
 * Stores the newest configuration in one file of the data folder. The file is
 * synced before the configuration comes into force, so that an instance never
 * serves with a lower revision after a restart.
 */
import {
  type ChecksummedFile,
  createChecksummedFile,
} from "../core/checksummed_file.ts";
import { type Configuration, configurationSchema } from "./configuration.ts";

export type ConfigurationCache = ChecksummedFile<Configuration>;

export function createConfigurationCache(
  dataFolder: string,
): ConfigurationCache {
  return createChecksummedFile(
    dataFolder,
    "configuration.json",
    configurationSchema,
  );
}
