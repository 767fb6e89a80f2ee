/** Test doubles ("stand-ins") for engines, plain services and the platform, for development and tests only. */
package io.endiveshed.standins;
