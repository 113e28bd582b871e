#include "commands/file.h"

PhResult
PhFile_Read(const char *path, PhStr *text)
{
    char *data;
    gsize len;
    GError *error = NULL;
    if (!g_file_get_contents(path, &data, &len, &error)) {
        PhResult r = PhResult_Make(PH_STATUS_IO, "%s", error->message);
        g_error_free(error);
        return r;
    }
    *text = PhStr_FromBytes(data, len);
    return PhResult_Ok();
}
